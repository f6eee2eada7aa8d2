//! Command-line options that all commands of the client share.

use bpaf::Bpaf;
use snafu::OptionExt;

use crate::api_client::ApiClient;
use crate::client_error::ClientError;
use crate::client_error::NoTokenSnafu;

/// Options that all commands share.
#[derive(Clone, Debug, Bpaf)]
pub struct ClientOptions {
    /// Entry to ask, such as http://127.0.0.1:7500; may be given several times
    #[bpaf(
        long("entry"),
        env("CUMINBARROW_ENTRY"),
        argument("URL"),
        some("at least one entry is needed"),
        fallback(vec!["http://127.0.0.1:7500".to_owned()])
    )]
    pub entries: Vec<String>,
    /// Print JSON
    #[bpaf(switch)]
    pub json: bool,
}

impl ClientOptions {
    /// Creates a client with the token from the environment.
    ///
    /// # Errors
    /// [`ClientError::NoToken`] if the environment has no token.
    pub(crate) fn client(&self) -> Result<ApiClient, ClientError> {
        let token = std::env::var("CUMINBARROW_TOKEN").ok().context(NoTokenSnafu)?;
        Ok(ApiClient::new(&self.entries, token))
    }
}
