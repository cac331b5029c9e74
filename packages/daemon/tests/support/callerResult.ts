/** What a caller of the test load received; a response that ended early is `cut`. */
export type CallerResult =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly requestId: string;
      readonly prompt: string;
      readonly text: string;
    }
  | { readonly type: 'cut'; readonly prompt: string };
