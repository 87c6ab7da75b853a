use super::*;

#[test]
fn requests_are_routed_by_path_and_method() {
    let get = Method::GET;
    let post = Method::POST;
    assert_eq!(match_route(&post, "/v1/jobs"), Route::Submit);
    assert_eq!(match_route(&get, "/v1/jobs"), Route::WrongMethod);
    assert_eq!(
        match_route(&get, "/v1/jobs/req-000001"),
        Route::Poll("req-000001")
    );
    assert_eq!(
        match_route(&post, "/v1/jobs/req-000001/withdraw"),
        Route::Cancel("req-000001")
    );
    assert_eq!(
        match_route(&get, "/v1/jobs/req-000001/withdraw"),
        Route::WrongMethod
    );
    assert_eq!(match_route(&get, "/v1/jobs/"), Route::UnknownPath);
    assert_eq!(match_route(&get, "/v1/jobs/a/b"), Route::UnknownPath);
    assert_eq!(match_route(&post, "/checkin"), Route::Heartbeat);
    assert_eq!(match_route(&get, "/other"), Route::UnknownPath);
}
