//! Calls of a tower service, such as an axum router, with a body that has been read.

use std::convert::Infallible;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;

/// Calls a service, and reads its whole answer, which is in memory already.
pub async fn call_service<S, B>(
    service: &TowerToHyperService<S>,
    request: Request<Full<Bytes>>,
) -> Response<Full<Bytes>>
where
    TowerToHyperService<S>:
        Service<Request<Full<Bytes>>, Response = Response<B>, Error = Infallible>,
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let Ok(response) = service.call(request).await;
    let (parts, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => Response::from_parts(parts, Full::new(body.to_bytes())),
        Err(error) => {
            log::warn!("an answer failed: {error}");
            let mut response = Response::default();
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
