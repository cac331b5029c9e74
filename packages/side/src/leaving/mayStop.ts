/** Whether a stopping process has nothing left to finish: no run whose answer is awaited and no grant outstanding. */
export const mayStop = ({
  runs,
  grants,
}: {
  readonly runs: number;
  readonly grants: number;
}): boolean => runs === 0 && grants === 0;
