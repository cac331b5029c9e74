/** A name in camel case as a metric's name: `grantExpired` becomes `grant_expired`. */
export const toMetricName = (name: string): string =>
  name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`).replace(/[^a-z0-9_]/g, '_');
