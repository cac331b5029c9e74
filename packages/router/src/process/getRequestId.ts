import type { RoutingEvent } from '@parsleyhall/routing';

/** The id of the request that an event is about; undefined if it is about none. */
export const getRequestId = (event: RoutingEvent): number | undefined => {
  if (event.type === 'requestArrived') {
    return event.arrival.requestId;
  }
  return 'requestId' in event ? event.requestId : undefined;
};
