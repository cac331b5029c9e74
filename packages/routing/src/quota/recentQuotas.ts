/** Each team's usage through all entries in each equal part of the latest window, by team; the oldest part first. */
export type RecentQuotas = Readonly<Record<string, readonly number[]>>;
