# Installs the libraries once and copies the packages of the workspace beside them.
set -eu
fail() {
    echo "build: $1" >&2
    exit 1
}
# The bytecode is used without a look at the source, which does not change after the build.
compile() {
    python3 -m compileall -q -f --invalidation-mode unchecked-hash "$1" || fail "$1 could not be compiled"
}
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || fail "Python 3.11 or newer is needed"
stamp=target/deps/.installed
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ] || [ constraints.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt -c constraints.txt ||
        fail "the libraries could not be installed"
    compile target/deps
    touch "$stamp"
fi
for package in core node platform; do
    rm -rf "target/deps/goldcrestridge_$package"
done
cp -r packages/core/src/goldcrestridge_core packages/node/src/goldcrestridge_node \
    platform/src/goldcrestridge_platform target/deps/
for package in core node platform; do
    compile "target/deps/goldcrestridge_$package"
done
for role in entry control; do
    PYTHONPATH=target/deps python3 -m goldcrestridge_platform.start_up "$role" \
        "target/deps/goldcrestridge_platform/generated_methods_$role.bin" ||
        fail "the generated methods of $role could not be compiled"
done
