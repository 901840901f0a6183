//! Text format and signatures of tickets.

use assert_matches::assert_matches;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use verbenahub_core::{
    ids::{IncarnationNumber, NodeId, PipelineName, WorkspaceId},
    ticket::{CallTicket, IncarnationKey, SequenceNumber, TicketError, TicketHolder, TicketSigner},
};

const SECRET: &[u8] = b"cluster secret";

fn config() -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..Config::default()
    }
}

fn ticket_of(node: &str, address: &str, incarnation: u64, sequence: u64) -> CallTicket {
    let holder = TicketHolder {
        incarnation: IncarnationKey {
            node: NodeId::new(node).unwrap(),
            incarnation: IncarnationNumber::new(incarnation),
        },
        address: address.parse().unwrap(),
    };
    let pipeline = PipelineName::new("visit-booking").unwrap();
    let workspace = WorkspaceId::new("inn.one").unwrap();
    let sequence = SequenceNumber::new(sequence);
    TicketSigner::new(SECRET).sign(&holder, sequence, &pipeline, &workspace)
}

#[test]
fn ticket_of_ipv6_node_round_trips() {
    let ticket = ticket_of("node-1", "[::1]:4000", 7, 0);
    let verified = TicketSigner::new(SECRET).verify(ticket.as_str());
    assert_eq!(verified, Ok(ticket));
}

#[test]
fn ticket_of_another_cluster_is_refused() {
    let ticket = ticket_of("node-1", "127.0.0.1:4000", 7, 0);
    let verified = TicketSigner::new(b"another secret").verify(ticket.as_str());
    assert_eq!(verified, Err(TicketError::Signature));
}

#[test]
fn malformed_texts_are_refused_with_a_specific_error() {
    let signer = TicketSigner::new(SECRET);
    assert_matches!(
        signer.verify(""),
        Err(TicketError::FieldCount { found: 1, .. })
    );
    assert_matches!(
        signer.verify(&"x".repeat(513)),
        Err(TicketError::TooLong { .. })
    );
    assert_eq!(
        signer.verify("t2~a~1~::1~1~0~p~w~AA"),
        Err(TicketError::Version)
    );
    assert_eq!(
        signer.verify("t1~a~1~::1~1~0~p~w~??"),
        Err(TicketError::SignatureText)
    );
    assert_eq!(
        signer.verify("t1~a~1~::1~1~0~p~w~AA"),
        Err(TicketError::Signature)
    );
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_ticket_round_trips_and_is_url_safe(
        node in "[A-Za-z0-9._-]{1,96}",
        incarnation: u64,
        sequence: u64,
        port: u16,
    ) {
        let ticket = ticket_of(&node, &format!("10.0.0.1:{port}"), incarnation, sequence);
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
        prop_assert!(ticket.as_str().bytes().all(allowed));
        let verified = TicketSigner::new(SECRET).verify(ticket.as_str());
        prop_assert_eq!(verified, Ok(ticket));
    }

    #[test]
    fn a_ticket_with_a_changed_byte_is_refused(
        index: prop::sample::Index,
        byte in 0x20_u8..0x7f,
    ) {
        let ticket = ticket_of("node-1", "127.0.0.1:4000", 7, 12);
        let mut text = ticket.as_str().as_bytes().to_vec();
        let index = index.index(text.len());
        prop_assume!(text[index] != byte);
        text[index] = byte;
        let text = String::from_utf8(text).unwrap();
        prop_assert!(TicketSigner::new(SECRET).verify(&text).is_err());
    }

    #[test]
    fn any_text_is_parsed_without_panic(text in ".{0,80}") {
        prop_assert!(TicketSigner::new(SECRET).verify(&text).is_err());
    }
}
