//! The addresses of a process, taken before anything else starts, and what follows from
//! them: its identity and the settings of its links.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use link::{LinkSettings, Udp};
use protocol::{Key, Keys, ProcessRole};
use settings::{CommonSettings, SharedKey};
use tokio::net::TcpListener;

use crate::admin;
use crate::{Identity, NodeError};

/// Ports that are tried where the system chooses: one that is free for TCP may be taken
/// for UDP.
const PORT_TRIES: usize = 16;

/// Bound addresses of a process.
pub struct Sockets {
    /// Who the process is.
    pub identity: Arc<Identity>,
    /// Calls of the system's own processes.
    pub inner: TcpListener,
    /// Gossip datagrams, on the same port.
    pub udp: Udp,
    /// The admin address.
    pub admin: TcpListener,
    /// Settings of links in both directions.
    pub links: LinkSettings,
}

impl Sockets {
    /// Takes the addresses of the settings; with port 0 the system chooses the ports.
    /// Errors when an address is taken or no key is set.
    pub async fn bind(common: &CommonSettings, role: ProcessRole) -> Result<Sockets, NodeError> {
        let keys = keys(&common.keys).ok_or(NodeError::NoKey)?;
        let admin = admin::listen(common.admin_listen).await?;
        let mut tries = 1;
        loop {
            let taken = Self::bind_inner(common, role, &keys).await;
            let (identity, inner, udp, links) = match taken {
                Ok(taken) => taken,
                Err(_) if common.inner_listen.port() == 0 && tries < PORT_TRIES => {
                    tries += 1;
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
