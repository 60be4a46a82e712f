//! The sockets of a process, which are bound before anything else starts, and what depends on
//! their addresses: the identity of the process and the settings of its links.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use link::{LinkSettings, Udp};
use protocol::{Key, Keys, ProcessRole};
use settings::{CommonSettings, SharedKey};
use tokio::net::TcpListener;

use crate::admin;
use crate::{Identity, NodeError};

/// Attempts to bind if the system chooses the port: a port that is free for TCP may be in use for
/// UDP.
const PORT_ATTEMPTS_MAX: usize = 16;

/// Bound sockets of a process.
pub struct Sockets {
    /// Identity of the process, with the bound address.
    pub identity: Arc<Identity>,
    /// Listener for calls from other processes of the system.
    pub inner: TcpListener,
    /// Socket for gossip datagrams, on the same port as `inner`.
    pub udp: Udp,
    /// Listener of the admin address.
    pub admin: TcpListener,
    /// Settings of connections to and from other processes.
    pub links: LinkSettings,
}

impl Sockets {
    /// Binds the addresses of the settings; for port 0 the system chooses the port. Returns an
    /// error if an address is in use or no key is set.
    pub async fn bind(common: &CommonSettings, role: ProcessRole) -> Result<Sockets, NodeError> {
        let keys = keys(&common.keys).ok_or(NodeError::NoKey)?;
        let admin = admin::listen(common.admin_listen).await?;
        let mut attempts = 1;
        loop {
            let result = Self::bind_inner(common, role, &keys).await;
            let (identity, inner, udp, links) = match result {
                Ok(bound) => bound,
                Err(_) if common.inner_listen.port() == 0 && attempts < PORT_ATTEMPTS_MAX => {
                    attempts += 1;
                    continue;
                }
                Err(reason) => return Err(NodeError::Listen(common.inner_listen, reason)),
            };
            return Ok(Sockets {
                identity,
                inner,
                udp,
                admin,
                links,
            });
        }
    }

    /// The bound admin address.
    pub fn admin_address(&self) -> Result<SocketAddr, NodeError> {
        let bound = self.admin.local_addr();
        bound.map_err(NodeError::Address)
    }

    async fn bind_inner(
        common: &CommonSettings,
        role: ProcessRole,
        keys: &Keys,
    ) -> io::Result<(Arc<Identity>, TcpListener, Udp, LinkSettings)> {
        let inner = TcpListener::bind(common.inner_listen).await?;
        let address = inner.local_addr()?;
        let failure_domain = common.failure_domain.clone();
        let region = common.region.clone();
        let identity = Identity::new(address, role, failure_domain.clone(), region);
        let links = LinkSettings::new(identity.node(), role, failure_domain, keys.clone());
        let udp = Udp::bind(address, &links).await?;
        Ok((Arc::new(identity), inner, udp, links))
    }
}

fn keys(shared: &[SharedKey]) -> Option<Keys> {
    let mut keys = shared.iter().map(|key| Key::new(key.0));
    let first = keys.next()?;
    Some(match keys.next() {
        Some(second) => Keys::two(first, second),
        None => Keys::one(first),
    })
}
