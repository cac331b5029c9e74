import type { IncomingHttpHeaders } from 'node:http';

/** The media type of a body, in lower case and without parameters; undefined if none is stated. */
export const getMediaType = (headers: IncomingHttpHeaders): string | undefined => {
  // A header that is repeated arrives as a list.
  const stated: string | readonly string[] | undefined = headers['content-type'];
  return stated?.toString().split(';')[0]?.trim().toLowerCase();
};
