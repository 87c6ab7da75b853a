//! The program: everything it does is in the library.

fn main() -> std::process::ExitCode {
    ochredrum::cli::main()
}
