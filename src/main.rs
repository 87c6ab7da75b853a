//! The `ochredrum` program, which only calls the library's command line.

fn main() -> std::process::ExitCode {
    ochredrum::cli::main()
}
