const URN_PREFIX = 'urn:parsleyhall:problem';

const toKebabCase = (name: string): string =>
  name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);

/** Builds the stable URN of a problem type and its reason. */
export const toUrn = (kind: 'not-run' | 'outcome-unknown' | 'invalid', reason?: string): string =>
  reason === undefined ? `${URN_PREFIX}:${kind}` : `${URN_PREFIX}:${kind}:${toKebabCase(reason)}`;
