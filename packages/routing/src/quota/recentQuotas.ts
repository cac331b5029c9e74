/** What all entries took of each team's quota in each part of the latest window, by team; the oldest part first. */
export type RecentQuotas = Readonly<Record<string, readonly number[]>>;
