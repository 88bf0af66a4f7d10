/**
 * The assertion function of the libraries in the bundle. For an assertion without a message Node.js would read and parse the
 * source file, which takes seconds for the long lines of a bundle.
 */
class AssertionError extends Error {
  code = "ERR_ASSERTION";
}

function assert(value, message = "an assertion of a library failed") {
  if (!value) {
    throw message instanceof Error ? message : new AssertionError(message);
  }
}

module.exports = assert;
