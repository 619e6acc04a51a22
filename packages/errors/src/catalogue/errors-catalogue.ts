import type { ErrorDefinition } from './error-definition.js'

/** Every error kind of the product. Documentation and SQLSTATE replies are made from this table. */
export const errorsCatalogue = {
  'settings-invalid': {
    name: 'SettingsInvalidError',
    title: 'Settings are not valid',
    message: 'Setting {path} is not valid: {found}.',
    hint: 'Correct the setting and run the program with --check-config.',
    sqlState: 'F0000',
    httpStatus: 400,
    outcome: 'none'
  },
  'authentication-failed': {
    name: 'AuthenticationFailedError',
    title: 'Log-in failed',
    message: 'Log-in failed for organisation {organisation}.',
    hint: 'Check the organisation and its key; an operator can give a new key.',
    sqlState: '28P01',
    httpStatus: 401,
    outcome: 'not-run'
  },
  'key-withdrawn': {
    name: 'KeyWithdrawnError',
    title: 'The key was withdrawn',
    message: 'The key of organisation {organisation} was withdrawn.',
    hint: 'Not run. Ask the operator of the organisation for a new key.',
    sqlState: '28000',
    httpStatus: 401,
    outcome: 'not-run'
  },
  'access-denied': {
    name: 'AccessDeniedError',
    title: 'Access to the catalogue entry is denied',
    message: 'Organisation {organisation} may not use catalogue entry {entry}.',
    hint: 'Not run. Use an entry that the organisation owns or that is open to all.',
    sqlState: '42501',
    httpStatus: 403,
    outcome: 'not-run'
  },
  'entry-unknown': {
    name: 'EntryUnknownError',
    title: 'The catalogue entry does not exist',
    message: 'There is no catalogue entry {entry}.',
    hint: 'Not run. Connect with the name of a catalogue entry as the database name.',
    sqlState: '3D000',
    httpStatus: 404,
    outcome: 'not-run'
  },
  'session-token-invalid': {
    name: 'SessionTokenInvalidError',
    title: 'The session token is not valid',
    message: 'The session token is not valid: {reason}.',
    hint: 'Not run. Send the last value of tanagerusher.session unchanged, or none.',
    sqlState: '22023',
    httpStatus: 400,
    outcome: 'not-run'
  },
  'rate-exceeded': {
    name: 'RateExceededError',
    title: 'The organisation is over its rate',
    message: 'Organisation {organisation} is over its rate.',
    hint: 'Not run. Repeat after {retryAfterMs} ms.',
    sqlState: '53400',
    httpStatus: 429,
    outcome: 'not-run'
  },
  overloaded: {
    name: 'OverloadedError',
    title: 'No slot before the deadline',
    message: 'The request could not start before its deadline ({reason}).',
    hint: 'Not run. Repeat later or with a longer statement deadline.',
    sqlState: '53300',
    httpStatus: 503,
    outcome: 'not-run'
  },
  unavailable: {
    name: 'UnavailableError',
    title: 'No suitable upstream',
    message: 'Group {group} cannot serve the request now ({reason}).',
    hint: 'Not run. Repeat the request; a failover takes a few seconds.',
    sqlState: '57P03',
    httpStatus: 503,
    outcome: 'not-run'
  },
  'shutting-down': {
    name: 'ShuttingDownError',
    title: 'The host is shutting down',
    message: 'The host is shutting down.',
    hint: 'Not run. Connect again; the balancer chooses another host.',
    sqlState: '57P01',
    httpStatus: 503,
    outcome: 'not-run'
  },
  'configuration-stale': {
    name: 'ConfigurationStaleError',
    title: 'The host has lost contact with the fleet',
    message: 'The host has not confirmed its configuration for {ageMs} ms.',
    hint: 'Not run. Connect again; the balancer chooses another host.',
    sqlState: '57P03',
    httpStatus: 503,
    outcome: 'not-run'
  },
  unsupported: {
    name: 'UnsupportedError',
    title: 'The feature is not supported',
    message: '{feature} is not supported.',
    hint: 'Not run. Use simple or extended queries.',
    sqlState: '0A000',
    httpStatus: 501,
    outcome: 'not-run'
  },
  'protocol-violation': {
    name: 'ProtocolViolationError',
    title: 'Protocol violation',
    message: 'The message violates the protocol: {reason}.',
    hint: 'Not run. Check the driver and its version.',
    sqlState: '08P01',
    httpStatus: 400,
    outcome: 'not-run'
  },
  'idempotency-conflict': {
    name: 'IdempotencyConflictError',
    title: 'Another statement used the idempotency key',
    message: 'Idempotency key {idempotencyKey} was used for a different statement.',
    hint: 'Not run. Use a new idempotency key for each piece of work.',
    sqlState: '22023',
    httpStatus: 409,
    outcome: 'not-run'
  },
  'transaction-already-run': {
    name: 'TransactionAlreadyRunError',
    title: 'The transaction has already committed',
    message: 'The transaction with idempotency key {idempotencyKey} has already committed.',
    hint: 'Not run again. Treat the transaction as done.',
    sqlState: '25000',
    httpStatus: 409,
    outcome: 'not-run'
  },
  'outcome-unknown': {
    name: 'OutcomeUnknownError',
    title: 'The outcome of the work is unknown',
    message: 'The outcome of the request is unknown ({reason}).',
    hint: 'Outcome unknown. Read the data before repeating, or repeat with the same idempotency key.',
    sqlState: '08007',
    httpStatus: 504,
    outcome: 'unknown'
  },
  'transaction-lost': {
    name: 'TransactionLostError',
    title: 'The transaction was rolled back',
    message: 'The transaction was rolled back because its upstream was lost ({reason}).',
    hint: 'Not run. Start the transaction again.',
    sqlState: '40001',
    httpStatus: 503,
    outcome: 'not-run'
  },
  'transaction-failed': {
    name: 'TransactionFailedError',
    title: 'The transaction has failed',
    message: 'The transaction has failed; commands are ignored until its end.',
    hint: 'Not run. End the transaction with ROLLBACK and start it again.',
    sqlState: '25P02',
    httpStatus: 409,
    outcome: 'not-run'
  },
  cancelled: {
    name: 'CancelledError',
    title: 'The request was cancelled',
    message: 'The request was cancelled before it was sent to a database.',
    hint: 'Not run. Repeat the request if it is still wanted.',
    sqlState: '57014',
    httpStatus: 499,
    outcome: 'not-run'
  },
  'session-idle': {
    name: 'SessionIdleError',
    title: 'The session was idle for too long',
    message: 'The session was idle for more than {limitMs} ms.',
    hint: 'Not run. Connect again.',
    sqlState: '57P05',
    httpStatus: 408,
    outcome: 'not-run'
  },
  'peer-failed': {
    name: 'PeerFailedError',
    title: 'A peer process did not answer',
    message: 'Peer {peer} failed: {reason}.',
    hint: 'Check that the peer runs and that its address is right.',
    sqlState: '08006',
    httpStatus: 502,
    outcome: 'none'
  },
  'store-unavailable': {
    name: 'StoreUnavailableError',
    title: 'The object store does not answer',
    message: 'The object store does not answer: {reason}.',
    hint: 'Repeat when the store is back; traffic goes on meanwhile.',
    sqlState: '58000',
    httpStatus: 503,
    outcome: 'none'
  },
  'version-conflict': {
    name: 'VersionConflictError',
    title: 'The object was changed by somebody else',
    message: 'Object {object} has version {found}, not {expected}.',
    hint: 'Read the object again, apply the change to the new version and repeat.',
    sqlState: '40001',
    httpStatus: 412,
    outcome: 'none'
  },
  'object-invalid': {
    name: 'ObjectInvalidError',
    title: 'The object is not valid',
    message: 'Object {object} is not valid at {path}: {found}.',
    hint: 'Correct the field and repeat.',
    sqlState: '22023',
    httpStatus: 400,
    outcome: 'none'
  },
  'object-unknown': {
    name: 'ObjectUnknownError',
    title: 'The object does not exist',
    message: 'There is no object {object}.',
    hint: 'Check the name; list the objects of the kind.',
    sqlState: '42704',
    httpStatus: 404,
    outcome: 'none'
  },
  'operator-unknown': {
    name: 'OperatorUnknownError',
    title: 'The operator is not known',
    message: 'The request carries no valid credential of an operator.',
    hint: 'Send name and credential as HTTP basic authentication; an administrator can give a new credential.',
    sqlState: '28000',
    httpStatus: 401,
    outcome: 'none'
  },
  'operator-denied': {
    name: 'OperatorDeniedError',
    title: 'The operator may not do this',
    message: 'Operator {operator} may not {action}.',
    hint: 'Ask an administrator to do it or to change the role; a team changes only its own entries.',
    sqlState: '42501',
    httpStatus: 403,
    outcome: 'none'
  },
  'trace-invalid': {
    name: 'TraceInvalidError',
    title: 'The recorded trace is not valid',
    message: 'Line {line} of the trace is not valid: {found}.',
    hint: 'Correct the line or record the trace again.',
    sqlState: 'F0000',
    httpStatus: 400,
    outcome: 'none'
  },
  internal: {
    name: 'InternalError',
    title: 'Internal error',
    message: 'Internal error: {reason}.',
    hint: 'Report the error with the log lines of its trace identifier.',
    sqlState: 'XX000',
    httpStatus: 500,
    outcome: 'unknown'
  }
} as const satisfies Record<string, ErrorDefinition>
