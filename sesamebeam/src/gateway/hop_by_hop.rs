//! Removal of hop-by-hop headers.

use hyper::{
    HeaderMap,
    header::{
        self,
        HeaderName, //
    },
};

/// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that frame the body, which is
/// framed anew for each connection.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// Header with the idle timeout of a connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}
