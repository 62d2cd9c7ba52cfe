#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/cases_2 ] && [ -x ../../target/release/plantainmill ] || exit 2
exec ../../target/review-2/cases_2 foreign-bytes .
