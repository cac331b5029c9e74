import type { H3Event } from 'h3/node';

/** Closes the connection of a request without sending a response. */
export const dropConnection = (event: H3Event): Response => {
  event.runtime?.node?.res?.socket?.destroy();
  return new Response(null, { status: 500 });
};
