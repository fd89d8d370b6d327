#!/bin/sh
# Fails if JSON is parsed elsewhere than in the two functions that never throw: parseJsonText() and, for settings, parseJson().
set -eu
if git grep -nE 'CharReader|Json::Reader|parseFromStream' -- 'src/*' 'platform/*' 'bench/*' ':!src/core/src/jsontext.cpp' ':!src/version/src/jsonfields.cpp'; then
    echo "JSON parsed without parseJsonText()" >&2
    exit 1
fi
