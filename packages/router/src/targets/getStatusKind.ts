const FIRST_INTERIM_STATUS = 100;
const SWITCHING_PROTOCOLS_STATUS = 101;
const FIRST_FINAL_STATUS = 200;
const STATUS_LIMIT = 600;

/** Whether a status is that of a final or an interim response, or none that a target may send (RFC 9110, 15). */
export const getStatusKind = (status: number): 'interim' | 'final' | 'invalid' => {
  // No request asks for an upgrade.
  const isInvalid =
    status < FIRST_INTERIM_STATUS ||
    status >= STATUS_LIMIT ||
    status === SWITCHING_PROTOCOLS_STATUS;
  if (isInvalid) {
    return 'invalid';
  }
  return status < FIRST_FINAL_STATUS ? 'interim' : 'final';
};
