number_id! {
    /// Sequence number of a ticket among the tickets of one incarnation. The
    /// first ticket has the lowest number.
    SequenceNumber, "sequence number"
}
