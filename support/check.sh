#!/usr/bin/env bash
# Runs the formatter and the linter over all sources; fails on any difference or finding.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${files[@]}"
echo "check: ${#files[@]} files are formatted"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
# A clean result is kept until the source, a header or the linter's settings change.
cache_dir=${XDG_CACHE_HOME:-$HOME/.cache}/sardinepoint-tidy
mkdir -p "$cache_dir"
headers_sum=$(printf '%s\n' "${files[@]}" .clang-tidy CMakeLists.txt | grep -v '\.cpp$' | xargs cat | sha256sum | cut -c1-16)
tidy_one() {
  key=$(sha256sum "$1" | cut -c1-32)-$headers_sum
  [ -e "$cache_dir/$key" ] && return 0
  clang-tidy --quiet -p "$build_dir" "$1" 2>/dev/null && touch "$cache_dir/$key"
}
export -f tidy_one
export build_dir cache_dir headers_sum
printf '%s\n' "${sources[@]}" | xargs -P "${JOBS:-8}" -I{} bash -c 'tidy_one {}'
echo "check: ${#sources[@]} sources pass the linter"

# The operators' page must name every setting and every event of the decision log.
page=docs/OPERATIONS.md
undocumented=0
require_in_page() {
  grep -qF -- "$1" "$page" || { echo "check: $2 is missing in $page"; undocumented=1; }
}
settings=$("$build_dir/sardinepointd" --list-settings)
while read -r section key _; do
  require_in_page "| \`$section\` | \`$key\` |" "setting $section $key"
done <<<"$settings"
# The strings between log_event( and its fields; log_upstream takes the event's name first.
events=$(perl -0777 -ne 'while (/\blog_event\((.*?)\{\{|\blog_upstream(?:_change)?\(("\w+")/sg) {
  my $head = $1 // $2; print "$1\n" while $head =~ /"(\w+)"/g }' src/*.cpp src/*/*.cpp platform/*.cpp | sort -u)
for event in $events; do
  require_in_page "\`$event\`:" "event $event"
done
[ "$undocumented" -eq 0 ]
echo "check: $(wc -l <<<"$settings") settings and $(wc -l <<<"$events") events are in $page"
