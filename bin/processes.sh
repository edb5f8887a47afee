# For scripts that run processes and end them: sourced, not run. Logs go to $work, which is removed at the end.
work=$(mktemp -d)
processes=()

cleanup() {
  for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
  for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
  echo "quickstart failed: $1" >&2
  tail -n 15 "$work"/*.log >&2 || true
  exit 1
}

start() { # name, then the command
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  processes+=($!)
  eval "process_${name//-/_}=$!"
}
