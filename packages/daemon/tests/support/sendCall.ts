/** Sends a call as a caller and reads the complete response; rejects when the response is cut. */
export const sendCall = async ({
  url,
  path,
  body,
  headers = {},
  signal,
}: {
  readonly url: string;
  readonly path: string;
  readonly body: object;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}): Promise<{
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
}> => {
  const response = await fetch(url + path, {
    method: 'POST',
    headers: { 'x-team': 'branches', 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
    ...(signal === undefined ? {} : { signal }),
  });
  return { status: response.status, headers: response.headers, text: await response.text() };
};
