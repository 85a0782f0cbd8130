#!/usr/bin/env bash
# Checks every model in Tests/Models with Spin, which must find no error, and every
# mutant of a model (a rule deliberately broken), in which Spin must find one.
set -euo pipefail
cd "$(dirname "$0")/.."
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT

# Checks one mutant of a model; mutant 0 is the model itself. Prints the number of errors, of states, and whether the search was truncated:
# check_model FILE MUTANT
check_model() {
    local directory="${FOLDER}/$(basename "$1" .pml)-$2"
    mkdir "$directory"
    cp "$1" "$directory/model.pml"
    (
        cd "$directory"
        spin "-DMUTANT=$2" -a model.pml >spin.txt
        gcc -O2 -w -DSAFETY -DVECTORSZ=2048 -o pan pan.c
        ./pan -m200000 -w22 >pan.txt
        sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.txt
        sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' pan.txt
        grep -c 'max search depth too small' pan.txt || true
    ) | paste -sd' '
}

passed=0
failed=0
detected=0
for model in Tests/Models/*.pml; do
    name=$(basename "$model" .pml)
    read -r errors states truncated < <(check_model "$model" 0)
    echo "event=models.checked model=${name} errors=${errors} states=${states}"
    if [ "$errors" -eq 0 ] && [ "$truncated" -eq 0 ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
    fi
    for mutant in $(sed -n 's/^ \* MUTANT \([0-9]*\):.*/\1/p' "$model"); do
        read -r errors states truncated < <(check_model "$model" "$mutant")
        echo "event=models.mutant model=${name} mutant=${mutant} errors=${errors} states=${states}"
        if [ "$errors" -gt 0 ]; then
            detected=$((detected + 1))
        else
            failed=$((failed + 1))
        fi
    done
done
echo "event=models.finished passed=${passed} mutants_caught=${detected} failed=${failed}"
[ "$failed" -eq 0 ]
