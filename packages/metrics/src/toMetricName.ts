/** Converts a camel-case name to a metric name: `grantExpired` becomes `grant_expired`. */
export const toMetricName = (name: string): string =>
  name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`).replace(/[^a-z0-9_]/g, '_');
