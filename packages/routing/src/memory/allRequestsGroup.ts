/** The group of all requests of a service. */
export const ALL_REQUESTS_GROUP = 'all';
