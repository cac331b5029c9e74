/** Stream of the log that holds the entries' summaries. */
export const REPORT_STREAM = 'report';
