# Read by the run.sh of each case: plays it with a time limit. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../harness
timeout -k 5 115 python3 play.py record.txt "$TROUBLE"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
