/**
 * Takes the place of `node:assert` in the bundles. The runtime's module explains
 * a failed assertion by parsing the source around it, which takes seconds for a
 * bundle and holds the event loop meanwhile.
 */
"use strict";

module.exports = assert;

/** Throws an error that names no expression when the value is not truthy. */
function assert(value, message = "An assertion of a library does not hold") {
  if (value) return;
  if (message instanceof Error) throw message;
  throw Object.assign(new Error(message), {
    name: "AssertionError",
    code: "ERR_ASSERTION",
  });
}

assert.ok = assert;
