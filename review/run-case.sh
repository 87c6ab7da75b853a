# Read by the run.sh of each case: runs the program of a case in a temporary folder, and ends the controllers
# by their ids should the program have been ended before it could do so.
run_case() {
    local case_folder=$1 program=$2 folder code
    cd "$case_folder/../.." || exit 2
    folder=$(mktemp -d) || exit 2
    timeout 118 "target/review/release/$program" "$folder" "$case_folder/record.txt"
    code=$?
    if [ -f "$folder/ids" ]; then
        while read -r id; do
            # An id may have been given to another program meanwhile.
            if tr '\0' ' ' 2>/dev/null <"/proc/$id/cmdline" | grep -qF "$folder"; then
                kill -9 "$id" 2>/dev/null
            fi
        done <"$folder/ids"
    fi
    rm -rf "$folder"
    case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
    esac
}
