/** Sends a call as a caller and reads its whole answer; rejects when the answer is cut. */
export const ask = async ({
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
  const answer = await fetch(url + path, {
    method: 'POST',
    headers: { 'x-team': 'branches', 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
    ...(signal === undefined ? {} : { signal }),
  });
  return { status: answer.status, headers: answer.headers, text: await answer.text() };
};
