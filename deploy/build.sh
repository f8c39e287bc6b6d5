# Installs the libraries once and copies the packages of the workspace beside them.
set -eu
fail() {
    echo "build: $1" >&2
    exit 1
}
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || fail "Python 3.11 or newer is needed"
stamp=target/deps/.installed
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ] || [ constraints.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt -c constraints.txt ||
        fail "the libraries could not be installed"
    touch "$stamp"
fi
rm -rf target/deps/goldcrestridge_*
cp -r packages/core/src/goldcrestridge_core packages/node/src/goldcrestridge_node \
    platform/src/goldcrestridge_platform target/deps/
python3 -m compileall -q target/deps || fail "a module could not be compiled"
