//! Tests of the program as a process. HTTP servers on loopback addresses replace the store, the cloud and the
//! workers.

#![allow(
    clippy::cast_possible_truncation,
    clippy::indexing_slicing,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    clippy::unwrap_used,
    reason = "a test fails by panicking, and states a whole case in one place"
)]

mod loopback;

use hyper::Method;
use loopback::{
    Deployment, StandInWorker, retry_until_status, send_request, settings_text, start_program,
    submission, write_settings_file,
};
use ochredrum::front::MESSAGE_PACK;
use ochredrum::http::{Client, RequestError};
use ochredrum::wire::encode;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use tokio::task::LocalSet;

#[test]
fn requests_get_the_documented_statuses_and_jobs_survive_a_kill() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::new().await;
        let file = write_settings_file("kill.toml", &deployment.settings());
        let program = start_program(&file);
        let client = Client::new(deployment.front, MESSAGE_PACK, 1);
        retry_until_status(&client, Method::GET, "/healthz", &[], 200).await;

        let post = |body: Vec<u8>| send_request(&client, Method::POST, "/v1/jobs", body);
        assert_eq!(post(vec![0xc1, 0xff]).await.unwrap().0, 400);
        assert_eq!(post(encode(&json!([1, 2]))).await.unwrap().0, 400);
        assert_eq!(post(Vec::new()).await.unwrap().0, 400);
        let mut invalid = submission("req-000001");
        invalid["beats"] = json!(0);
        assert_eq!(post(encode(&invalid)).await.unwrap().0, 400);
        let mut large = submission("req-000001");
        large["herd"] = json!("x".repeat(70_000));
        // The program refuses the request before it has read all of it, so the client may see a closed
        // connection.
        assert!(matches!(
            post(encode(&large)).await,
            Ok((400, _)) | Err(RequestError::OutcomeUnknown)
        ));
        for (field, value) in [
            ("crew", json!("nobody")),
            ("cards", json!(9.0)),
            ("breeds", json!(["x"])),
        ] {
            let mut unsatisfiable = submission("req-000001");
            unsatisfiable[field] = value;
            assert_eq!(
                post(encode(&unsatisfiable)).await.unwrap().0,
                422,
                "{field}"
            );
        }
        assert_eq!(
            send_request(&client, Method::GET, "/v1/jobs/req-000001", vec![])
                .await
                .unwrap()
                .0,
            404
        );
        assert_eq!(
            send_request(&client, Method::GET, "/nowhere", vec![])
                .await
                .unwrap()
                .0,
            404
        );
        assert_eq!(
            send_request(&client, Method::DELETE, "/v1/jobs", vec![])
                .await
                .unwrap()
                .0,
            405
        );

        let (status, body) = post(encode(&submission("req-000001"))).await.unwrap();
        assert_eq!(
            (status, body),
            (201, json!({"nameId": "req-000001", "stance": "pending"}))
        );
        assert_eq!(
            post(encode(&submission("req-000001"))).await.unwrap().0,
            200
        );
        let cancel_path = "/v1/jobs/req-000002/withdraw";
        assert_eq!(
            post(encode(&submission("req-000002"))).await.unwrap().0,
            201
        );
        let (status, body) = send_request(&client, Method::POST, cancel_path, vec![])
            .await
            .unwrap();
        assert_eq!((status, &body["stance"]), (200, &json!("withdrawn")));

        let submit_dependent = |id: &str, dependencies: Value| {
            let mut job = submission(id);
            job["awaits"] = dependencies;
            post(encode(&job))
        };
        for invalid in [json!("req-000001"), json!(["r-1"]), json!([1])] {
            assert_eq!(
                submit_dependent("req-000003", invalid).await.unwrap().0,
                400
            );
        }
        for unknown in ["req-000777", "req-000003"] {
            assert_eq!(
                submit_dependent("req-000003", json!([unknown]))
                    .await
                    .unwrap()
                    .0,
                422,
                "{unknown}"
            );
        }
        let repeated: Vec<&str> = vec!["req-000001"; 2000];
        assert_eq!(
            submit_dependent("req-000003", json!(repeated))
                .await
                .unwrap()
                .0,
            201,
            "repeated dependencies count once"
        );
        let (status, body) = submit_dependent("req-000004", json!(["req-000003", "req-000002"]))
            .await
            .unwrap();
        assert_eq!((status, &body["stance"]), (201, &json!("withdrawn")));
        assert_eq!(
            submit_dependent("req-000005", json!(["req-000004"]))
                .await
                .unwrap()
                .1["stance"],
            "withdrawn"
        );

        drop(program);
        let _program = start_program(&file);
        let body = retry_until_status(&client, Method::GET, "/v1/jobs/req-000001", &[], 200).await;
        assert_eq!(body["stance"], "pending");
        let body = retry_until_status(&client, Method::GET, "/v1/jobs/req-000002", &[], 200).await;
        assert_eq!(body["stance"], "withdrawn");
        assert_eq!(
            post(encode(&submission("req-000002"))).await.unwrap().1["stance"],
            "withdrawn"
        );
        for (id, status) in [("3", "pending"), ("4", "withdrawn"), ("5", "withdrawn")] {
            let path = format!("/v1/jobs/req-00000{id}");
            assert_eq!(
                retry_until_status(&client, Method::GET, &path, &[], 200).await["stance"],
                status
            );
        }
    });
}

/// A direct message is delayed, the next connection to the same worker is refused at once, and the delayed
/// message is executed afterwards. Its task must not have been started on another worker because of the
/// refusal.
#[test]
fn delayed_start_runs_once_although_the_next_message_is_refused() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::new().await;
        // The lease is long enough for both messages to be in flight at once, even on a busy machine.
        let text = deployment
            .settings()
            .replace("lease_s = 4.0", "lease_s = 20.0");
        let _program = start_program(&write_settings_file("late.toml", &text));
        let client = Client::new(deployment.front, MESSAGE_PACK, 1);
        retry_until_status(&client, Method::GET, "/healthz", &[], 200).await;
        let workers = [
            StandInWorker::start("m-000001", deployment.front).await,
            StandInWorker::start("m-000002", deployment.front).await,
        ];
        let submit = async |id: &str| {
            let mut job = submission(id);
            job["beats"] = json!(1);
            retry_until_status(&client, Method::POST, "/v1/jobs", &encode(&job), 201).await
        };
        for worker in &workers {
            worker.wait_for_token().await;
            worker.hold_next_message();
        }
        submit("req-000001").await;
        let (delayed, other) = loop {
            tokio::time::sleep(Duration::from_millis(5)).await;
            match workers
                .iter()
                .map(StandInWorker::holds_message)
                .collect::<Vec<_>>()[..]
            {
                [true, _] => break (&workers[0], &workers[1]),
                [_, true] => break (&workers[1], &workers[0]),
                _ => {}
            }
        };
        other.serve_messages();
        delayed.refuse_connections();
        submit("req-000002").await;
        other.wait_for_task("req-000002/0").await;
        delayed.execute_held_message();
        delayed.wait_for_task("req-000001/0").await;
        // A duplicate start would have reached a worker by then.
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert!(delayed.is_running("req-000001/0") && !other.has_started("req-000001/0"));
        assert!(!delayed.has_started("req-000002/0") && other.is_running("req-000002/0"));
    });
}

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_field() {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let valid = settings_text(address, address, address, address);
    let check_config = |name: &str, text: &str| {
        let file = write_settings_file(name, text);
        let program = env!("CARGO_BIN_EXE_ochredrum");
        Command::new(program)
            .arg("check-config")
            .arg(file)
            .output()
            .unwrap()
    };
    assert!(check_config("valid.toml", &valid).status.success());
    for (from, to, field) in [
        (
            "lease_s = 4.0",
            "lease_s = -4.0",
            "deployment.workers.lease_s",
        ),
        ("lease_s = 4.0", "", "lease_s"),
        ("txn_ops = 8", "txn_ops = \"8\"", "txn_ops"),
        (
            "txn_ops = 8",
            "txn_ops = 8\nnext = { txn_ops = 1 }",
            "deployment.state.next.txn_ops",
        ),
        (
            "txn_ops = 8",
            "txn_ops = 8\nnext = { value_kb = 0.0 }",
            "deployment.state.next.value_kb",
        ),
        ("host_name = \"n0\"", "host_name = \"\"", "host_name"),
    ] {
        let output = check_config("invalid.toml", &valid.replace(from, to));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(
            message.contains(field) && message.lines().count() == 1,
            "{message}"
        );
    }
}
