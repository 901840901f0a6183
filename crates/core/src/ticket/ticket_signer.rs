use std::net::{IpAddr, SocketAddr};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::{CallTicket, IncarnationKey, SequenceNumber, TicketError, TicketHolder, TicketKey};
use crate::ids::{PipelineName, WorkspaceId};

/// Version of the text format, written as the first field.
const FORMAT_VERSION: &str = "t1";
/// Separates the fields. Not allowed in identifiers, and needs no escaping in a
/// URL.
const FIELD_SEPARATOR: char = '~';
/// Number of fields of a ticket, including the signature.
const FIELD_COUNT: usize = 9;
/// Maximum length of a ticket, in bytes.
const TICKET_LIMIT_BYTES: usize = 512;
/// Prefix of the signed data, so that no signature made with the same secret for
/// another purpose is valid for a ticket.
const SIGNATURE_CONTEXT: &[u8] = b"verbenahub ticket\n";

/// Signs and verifies tickets with the secret of the cluster (HMAC-SHA256).
#[derive(Clone)]
pub struct TicketSigner {
    mac: Hmac<Sha256>,
}

impl TicketSigner {
    /// Creates a signer from the secret of the cluster.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(SIGNATURE_CONTEXT);
        Self { mac }
    }

    /// Creates and signs a ticket.
    #[must_use]
    pub fn sign(
        &self,
        issuer: &TicketHolder,
        sequence: SequenceNumber,
        pipeline: &PipelineName,
        workspace: &WorkspaceId,
    ) -> CallTicket {
        let fields = [
            FORMAT_VERSION.to_owned(),
            issuer.incarnation.node.to_string(),
            issuer.incarnation.incarnation.to_string(),
            issuer.address.ip().to_string(),
            issuer.address.port().to_string(),
            sequence.to_string(),
            pipeline.to_string(),
            workspace.to_string(),
        ];
        let mut text = fields.join(&FIELD_SEPARATOR.to_string());
        let signature = self.mac_of(&text).finalize().into_bytes();
        text.push(FIELD_SEPARATOR);
        URL_SAFE_NO_PAD.encode_string(signature, &mut text);
        CallTicket {
            key: TicketKey {
                issuer: issuer.incarnation.clone(),
                sequence,
            },
            address: issuer.address,
            pipeline: pipeline.clone(),
            workspace: workspace.clone(),
            text,
        }
    }

    /// Parses a ticket and verifies its signature in constant time.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a ticket or was not signed with this secret.
    pub fn verify(&self, text: &str) -> Result<CallTicket, TicketError> {
        let fields = split_fields(text)?;
        let [version, .., signature] = fields;
        if version != FORMAT_VERSION {
            return Err(TicketError::Version);
        }
        let signed = &text[..text.len() - signature.len() - FIELD_SEPARATOR.len_utf8()];
        let signature = URL_SAFE_NO_PAD
            .decode(signature)
            .map_err(|_| TicketError::SignatureText)?;
        self.mac_of(signed)
            .verify_slice(&signature)
            .map_err(|_| TicketError::Signature)?;
        parse_fields(text, &fields)
    }

    fn mac_of(&self, signed: &str) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(signed.as_bytes());
        mac
    }
}

fn split_fields(text: &str) -> Result<[&str; FIELD_COUNT], TicketError> {
    if text.len() > TICKET_LIMIT_BYTES {
        return Err(TicketError::TooLong {
            limit: TICKET_LIMIT_BYTES,
            length: text.len(),
        });
    }
    let fields: Vec<&str> = text.split(FIELD_SEPARATOR).collect();
    let found = fields.len();
    fields.try_into().map_err(|_| TicketError::FieldCount {
        expected: FIELD_COUNT,
        found,
    })
}

fn parse_fields(text: &str, fields: &[&str; FIELD_COUNT]) -> Result<CallTicket, TicketError> {
    let [
        _,
        node,
        incarnation,
        ip,
        port,
        sequence,
        pipeline,
        workspace,
        _,
    ] = fields;
    let malformed = |field| TicketError::Field { field };
    let ip: IpAddr = ip.parse().map_err(|_| malformed("address"))?;
    let port: u16 = port.parse().map_err(|_| malformed("port"))?;
    let sequence = sequence.parse().map_err(|_| malformed("sequence number"))?;
    Ok(CallTicket {
        key: TicketKey {
            issuer: IncarnationKey {
                node: node.parse()?,
                incarnation: incarnation.parse()?,
            },
            sequence: SequenceNumber::new(sequence),
        },
        address: SocketAddr::new(ip, port),
        pipeline: pipeline.parse()?,
        workspace: workspace.parse()?,
        text: text.to_owned(),
    })
}
