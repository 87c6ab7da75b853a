use super::*;

#[test]
fn paths_and_methods() {
    let get = Method::GET;
    let post = Method::POST;
    assert_eq!(route(&post, "/v1/jobs"), Route::Submit);
    assert_eq!(route(&get, "/v1/jobs"), Route::WrongMethod);
    assert_eq!(
        route(&get, "/v1/jobs/req-000001"),
        Route::Poll("req-000001")
    );
    assert_eq!(
        route(&post, "/v1/jobs/req-000001/withdraw"),
        Route::Cancel("req-000001")
    );
    assert_eq!(
        route(&get, "/v1/jobs/req-000001/withdraw"),
        Route::WrongMethod
    );
    assert_eq!(route(&get, "/v1/jobs/"), Route::Unknown);
    assert_eq!(route(&get, "/v1/jobs/a/b"), Route::Unknown);
    assert_eq!(route(&post, "/checkin"), Route::Heartbeat);
    assert_eq!(route(&get, "/other"), Route::Unknown);
}
