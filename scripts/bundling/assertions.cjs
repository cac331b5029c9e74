// Takes the place of node:assert in a bundle. Node.js generates the message of a failed assertion without one by parsing
// the source around the call, which takes seconds in a minified file and holds up the event loop. Here the message is fixed.
const builtIn = require('node:assert');

const MESSAGE = 'The assertion failed';

const toError = (value, message) =>
  message instanceof Error
    ? message
    : new builtIn.AssertionError({
        message: message ?? MESSAGE,
        actual: value,
        expected: true,
        operator: '==',
        stackStartFn: ok,
      });

/** Throws if the value is not truthy. */
function ok(value, message) {
  if (!value) {
    throw toError(value, message);
  }
}

const createAssertions = (assertions) => {
  const assert = (value, message) => {
    ok(value, message);
  };
  return Object.assign(assert, assertions, { ok });
};

const strict = createAssertions(builtIn.strict);
strict.strict = strict;

module.exports = Object.assign(createAssertions(builtIn), { strict });
