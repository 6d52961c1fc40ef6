#!/usr/bin/env bash
# Installs the libraries and tools that the build needs (Debian 12).
set -euo pipefail
packages=(g++ cmake pkg-config clang-format clang-tidy libace-dev libboost-dev libboost-test-dev
  libcurl4-openssl-dev libssl-dev libmicrohttpd-dev libdocopt-dev libspdlog-dev libfmt-dev
  nlohmann-json3-dev libinih-dev libxxhash-dev zlib1g-dev ninja-build ccache curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "setup: installing ${missing[*]}"
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
