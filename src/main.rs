//! The program. Everything it does is in the library.

fn main() -> std::process::ExitCode {
    ochredrum::cli::main()
}
