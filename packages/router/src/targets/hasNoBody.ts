const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;

/** Whether a final response ends with its head, whatever its headers say (RFC 9112, 6.3). */
export const hasNoBody = (method: string, status: number): boolean =>
  method === 'HEAD' || status === NO_CONTENT_STATUS || status === NOT_MODIFIED_STATUS;
