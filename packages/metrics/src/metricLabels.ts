/** The labels of one series, by name. */
export type MetricLabels = Readonly<Record<string, string>>;
