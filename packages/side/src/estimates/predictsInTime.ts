/** Whether work of a raised duration would end within the time left; both in milliseconds. */
export const predictsInTime = ({
  raisedMs,
  deadlineLeftMs,
}: {
  readonly raisedMs: number;
  readonly deadlineLeftMs: number;
}): boolean => raisedMs <= deadlineLeftMs;
