/**
 * What is wrong with part of a target's responses: they have neither a length nor chunks and some of them are reset before
 * their end, or something that the target did not make stands between two events of a stream.
 */
export type AnswerFault = 'unframed' | 'garbage';
