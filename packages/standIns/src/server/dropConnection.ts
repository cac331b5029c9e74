import type { H3Event } from 'h3/node';

/** Cuts the connection of a request without an answer. */
export const dropConnection = (event: H3Event): Response => {
  event.runtime?.node?.res?.socket?.destroy();
  return new Response(null, { status: 500 });
};
