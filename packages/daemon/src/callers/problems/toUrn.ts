const PREFIX = 'urn:parsleyhall:problem';

const toKebab = (name: string): string =>
  name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);

/** The stable URN of a kind of problem and its reason. */
export const toUrn = (kind: 'not-run' | 'outcome-unknown' | 'invalid', reason?: string): string =>
  reason === undefined ? `${PREFIX}:${kind}` : `${PREFIX}:${kind}:${toKebab(reason)}`;
