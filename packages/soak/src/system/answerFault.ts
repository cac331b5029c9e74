/**
 * What is wrong with part of a target's responses: they have neither a length nor chunks and some of them are reset before
 * their end; bytes that are no part of a stream stand somewhere in it; or an event that looks like the next one stands
 * before that.
 */
export type AnswerFault = 'unframed' | 'garbage' | 'lookAlike';
