#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

PACKAGES=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy
    libglib2.0-dev libsoup-3.0-dev glib-networking
    libthrift-dev libboost-dev
    prometheus-cpp-dev liblog4cxx-dev libfmt-dev libexpected-dev
    nlohmann-json3-dev zlib1g-dev libcriterion-dev
    spin curl gnuplot-nox python3
)

missing=()
for package in "${PACKAGES[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
