/**
 * Why a request is sent to a target at home or in another data centre:
 *
 * - `home`: the target is at home;
 * - `noTarget`: no target at home can serve it;
 * - `noRoom`: no target at home has a free slot;
 * - `contested`: other entries are likely to take the free slots at home at the same time;
 * - `late`: the targets with a free slot at home would miss the objective;
 * - `faster`: no target meets the objective, and staying would take much longer;
 * - `cheaper`: the settings name no cost of crossing, and the target has the lowest predicted cost.
 */
export type Placement =
  'home' | 'noTarget' | 'noRoom' | 'contested' | 'late' | 'faster' | 'cheaper';
