/** Name of the log stream that holds the reports of the entries. */
export const REPORT_STREAM = 'report';
