//! Configuration of mutual TLS between entry VMs.

use std::fs;
use std::path::{Path, PathBuf};

use tonic::transport::{Certificate, ClientTlsConfig, Endpoint, Identity, ServerTlsConfig};

use crate::error::{Error, Result};

/// DNS name in the certificates of all entry VMs. Addresses change too often to be part of a certificate.
const DNS_NAME: &str = "nutmegfold";

/// Paths of the files for mutual TLS, in PEM format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// Certificate of this process, with the DNS name `nutmegfold`.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificate of the authority that signs the certificates of all entry VMs.
    pub authority: PathBuf,
}

impl Tls {
    /// Reads and checks the files, and returns the configurations of client and server.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or its content is invalid.
    pub fn read(&self) -> Result<(ClientTlsConfig, ServerTlsConfig)> {
        let identity = Identity::from_pem(read_file(&self.certificate)?, read_file(&self.key)?);
        let authority = Certificate::from_pem(read_file(&self.authority)?);
        let client = ClientTlsConfig::new()
            .domain_name(DNS_NAME)
            .identity(identity.clone())
            .ca_certificate(authority.clone());
        Endpoint::from_static("https://nutmegfold")
            .tls_config(client.clone())
            .map_err(|error| Error::call("TLS for peers", error))?;
        Ok((client, ServerTlsConfig::new().identity(identity).client_ca_root(authority)))
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>> {
    fs::read(path).map_err(|source| Error::io(format!("reading {}", path.display()), source))
}
