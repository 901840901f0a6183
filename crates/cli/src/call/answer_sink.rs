/// Takes the pieces of an answer as they arrive.
pub trait AnswerSink {
    /// Takes the next tokens of a streamed answer.
    fn take_tokens(&mut self, tokens: u64, text: &str);

    /// Takes the whole of an answer that is not streamed.
    fn take_bytes(&mut self, bytes: &[u8]);
}
