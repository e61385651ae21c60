/** Bytes that boxes of an earlier build sent, in base64. They stay as recorded: a fleet is updated box by box. */

/** A datagram of each kind. */
export const RECORDED_DATAGRAMS = {
  news:
    'uQAfZGtpbmRkbmV3c2Vib3hJZGVib3gtN2tpbmNhcm5hdGlvbgNoc2VxdWVuY2UYKWVzY29wZWVncm91cGdpc1By' +
    'b2Jl9GVib3hlcwJkem9uZWZ6b25lLWJkaG9zdGkxMjcuMC4wLjdkcG9ydBkbvG5wcm9jZXNzb3JDb3Jlc/s/+AAA' +
    'AAAAAHRjb25maWd1cmF0aW9uVmVyc2lvbgRvc2VydmVyc1JldmlzaW9uE2hyZWdpc3RyebkAAmpsYXN0TnVtYmVy' +
    'CGdjaGFuZ2VzgGhzdG9yZUVyYQJxc3RvcmVDb250YWN0QWdlTXMYHmtsZWFzZUhvbGRlcrkAAmRob3N0aTEyNy4w' +
    'LjAuOGRwb3J0GRwgZ2xlYXZpbmf1a3NpbGVudFpvbmVzgWZ6b25lLWNlbG9hZHO5AABoc2VuZFN1bXO5AAFnZW5n' +
    'aW5lc7kAC2VzZW5kcwxmdG9rZW5zGRLAZ3J1bm5pbmcYHmZ3YWl0TXMZA4RtdG9rZW5zU3F1YXJlZBoAHoSAbXRv' +
    'a2Vuc1J1bm5pbmcZNrBucnVubmluZ1NxdWFyZWQYWmp0b2tlbnNXYWl0GgAFzGBrcnVubmluZ1dhaXQZCoxlZW5k' +
    'ZWQLZnN0YXlNcxlV8GhhZG1pdHRlZLkAAWV0aWdlchh4andvcmtUb2tlbnMZC7hldXNhZ2W5AAFpMzU5MjYwMjA5' +
    'uQABZXRpZ2VyC2lkZWNpc2lvbnOBuQADZndpbmRvdxoVaeAwZmNvdW50c7kAAmV0aWdlcglkbHlueAJqaXNSZXBv' +
    'cnRlZPVkcm9vbbkAAWRseW54A2RwYXJ0uQADZWJveGVzAmxsaXN0UmV2aXNpb24VbGRpdmlkZWRGb3JNcxkDIGhy' +
    'b2xsb3V0c4G5AAVlb3JkZXK5AARnc2VydmljZWdlbmdpbmVzbXRhcmdldFZlcnNpb25idjJqZHVyYXRpb25Ncxnq' +
    'YGhyZXZpc2lvbhFlYWdlTXMZAfRlcGhhc2Voc2FtcGxpbmdmYmFycmVkgWJ2MGhldmlkZW5jZbkAAmV0cmlhbIG5' +
    'AAVlcm91dGVlZHJhZnRoc2VydmVySWRjZS0xZ2Fuc3dlcnMYKGZmYWlsZWQCZHNsb3cBZXVzdWFsgbkABGVyb3V0' +
    'ZWVkcmFmdGdhbnN3ZXJzGQEsZmZhaWxlZANkc2xvdwBtY2xvY2tPZmZzZXRNcytobG9hZFJvd3OBhmNlLTEDGQOE' +
    'AhkBkBkB9GpjaGFuZ2VSb3dzgowHY2UtMWdlbmdpbmVzaTEyNy4wLjAuORkjjGZ6b25lLWEQZ2xlYXZpbmf1GQSw' +
    'YnYy+0J4vP5WgAAAgghjZS0y',
  usage:
    'uQAEZGtpbmRldXNhZ2VlYm94SWRlYm94LTdraW5jYXJuYXRpb24DZXVzYWdluQABaTM1OTI2MDIwObkAAWV0aWdl' +
    'cgs=',
  unitsAsked:
    'uQAJZGtpbmRqdW5pdHNBc2tlZGVib3hJZGVib3gtN2tpbmNhcm5hdGlvbgNkaG9zdGkxMjcuMC4wLjdkcG9ydBkb' +
    'vGVhc2tJZAVpd29ya3NwYWNlZGx5bnhldW5pdHMEZGhvcHMB',
  unitsLent:
    'uQAHZGtpbmRpdW5pdHNMZW50ZWJveElkZWJveC04a2luY2FybmF0aW9uA2Rob3N0aTEyNy4wLjAuOGRwb3J0GRwg' +
    'ZWFza0lkBWV1bml0cwQ=',
  unitsReturned:
    'uQAFZGtpbmRtdW5pdHNSZXR1cm5lZGVib3hJZGVib3gtN2tpbmNhcm5hdGlvbgNlYXNrSWQFZXVuaXRzAg==',
  crashSuspects:
    'uQAEZGtpbmRtY3Jhc2hTdXNwZWN0c2Vib3hJZGVib3gtN2hzdXNwZWN0c4G5AAVja2V5aHRpZ2VyIDlmZ2NyYXNo' +
    'ZXOChGNlLTH7Qni8/laAAAAZA4QZAryEY2UtMvYZAZAYZGxnb29kUnVuQWdlTXP3bGtlcHRPdXRBZ2VNcxgyaXNl' +
    'ZW5BZ2VNcwpmcmVjZW50gYRjZS0y9hkBkBhk',
  serverStatements:
    'uQAGZGtpbmRrc2VydmVyRmFjdHNlYm94SWRlYm94LTdmbGltaXRzgYVjZS0x+0J4vP5WgAAA+0AEAAAAAAAAGDwY' +
    'KGZwYXVzZXOBhmNlLTL2GQu4FAr2Z2xlYXZpbmeBgmNlLTT2aHJlZnVzYWxzgYNjZS0z+0J4vP5WgFAAGEY=',
} as const;

/** The state that a box hands to another on request. */
export const RECORDED_SHARED_STATE =
  'uQAFbWNvbmZpZ3VyYXRpb265AAVndmVyc2lvbgFmcm91dGVzhLkADGRuYW1lZmxvb2t1cGRob3N0bWJl' +
  'bmNoLmV4YW1wbGVqcGF0aFByZWZpeGgvbG9va3VwL2RraW5kanJlcGVhdGFibGVpdGltZW91dE1zGQJY' +
  'aHRhcmdldE1zGGRrZ2FwVGFyZ2V0TXP3aHByaW9yaXR5Amd0YXJnZXRzgbkAAmdzZXJ2aWNlZ3JlY29y' +
  'ZHNmd2VpZ2h0AWttYXhBdHRlbXB0cwJoaXNQdWJsaWP0aXJlc3VtYWJsZfS5AAxkbmFtZWZub3RpY2Vk' +
  'aG9zdG1iZW5jaC5leGFtcGxlanBhdGhQcmVmaXhoL25vdGljZS9ka2luZG1ub25SZXBlYXRhYmxlaXRp' +
  'bWVvdXRNcxkCWGh0YXJnZXRNcxhka2dhcFRhcmdldE1z92hwcmlvcml0eQJndGFyZ2V0c4G5AAJnc2Vy' +
  'dmljZWdyZWNvcmRzZndlaWdodAFrbWF4QXR0ZW1wdHMBaGlzUHVibGlj9GlyZXN1bWFibGX0uQAMZG5h' +
  'bWVlZHJhZnRkaG9zdG1iZW5jaC5leGFtcGxlanBhdGhQcmVmaXhnL2RyYWZ0L2RraW5kZnN0cmVhbWl0' +
  'aW1lb3V0TXMZH0BodGFyZ2V0TXMZBLBrZ2FwVGFyZ2V0TXP3aHByaW9yaXR5Amd0YXJnZXRzgbkAAmdz' +
  'ZXJ2aWNlZ2VuZ2luZXNmd2VpZ2h0AWttYXhBdHRlbXB0cwJoaXNQdWJsaWP0aXJlc3VtYWJsZfW5AAxk' +
  'bmFtZWZyZXZpZXdkaG9zdG1iZW5jaC5leGFtcGxlanBhdGhQcmVmaXhoL3Jldmlldy9ka2luZGZzdHJl' +
  'YW1pdGltZW91dE1zGR9AaHRhcmdldE1zGQSwa2dhcFRhcmdldE1z92hwcmlvcml0eQJndGFyZ2V0c4G5' +
  'AAJnc2VydmljZWdlbmdpbmVzZndlaWdodAFrbWF4QXR0ZW1wdHMBaGlzUHVibGlj9GlyZXN1bWFibGX0' +
  'aHNlcnZpY2VzgrkABGRuYW1lZ3JlY29yZHNubWF4Q29ubmVjdGlvbnMYZGZlbmdpbmX3Z3NjYWxpbmf3' +
  'uQAEZG5hbWVnZW5naW5lc25tYXhDb25uZWN0aW9ucxkCWGZlbmdpbmW5AAJlc2xvdHMYgHBrdkNhcGFj' +
  'aXR5VG9rZW5zGgAD96Bnc2NhbGluZ7kABWptaW5QZXJab25lAWptYXhQZXJab25lBGZib290TXMZD6B1' +
  'cmVjbGFpbWFibGVQcmljZVNoYXJl+z/JmZmZmZmaanpvbmVQcmljZXOCuQACZHpvbmVmem9uZS1hZXBy' +
  'aWNl+z/szMzMzMzNuQACZHpvbmVmem9uZS1iZXByaWNl+z/xmZmZmZmaandvcmtzcGFjZXOBuQAHZG5h' +
  'bWVldGlnZXJka2V5c4Fsa2V5LW9mLXRpZ2VyaHByaW9yaXR592R1bml0ZnRva2Vuc2twbGFpblRva2Vu' +
  'cxjIbXJhdGVQZXJTZWNvbmQZJxBlYnVyc3QZJxBmbGltaXRzuQAEbm1heEhlYWRlckJ5dGVzGUAAbG1h' +
  'eEJvZHlCeXRlcxoAD0JAb2hlYWRlclRpbWVvdXRNcxkLuG1pZGxlVGltZW91dE1zGTqYZ3NlcnZlcnOE' +
  'uQACYmlkaXJlY29yZHMtMWVlbnRyebkACWJpZGlyZWNvcmRzLTFnc2VydmljZWdyZWNvcmRzZ2FkZHJl' +
  'c3O5AAJkaG9zdGkxMjcuMC4wLjFkcG9ydBkD6GR6b25lZnpvbmUtYWVzbG90cwZlc3RhdGVlcmVhZHlr' +
  'cmVjbGFpbWFibGX0amxlYXZlc0luTXP3Z3ZlcnNpb273uQACYmlkaXJlY29yZHMtMmVlbnRyebkACWJp' +
  'ZGlyZWNvcmRzLTJnc2VydmljZWdyZWNvcmRzZ2FkZHJlc3O5AAJkaG9zdGkxMjcuMC4wLjFkcG9ydBkD' +
  '6GR6b25lZnpvbmUtYmVzbG90cwZlc3RhdGVlcmVhZHlrcmVjbGFpbWFibGX0amxlYXZlc0luTXP3Z3Zl' +
  'cnNpb273uQACYmlkaGVuZ2luZS0xZWVudHJ5uQAJYmlkaGVuZ2luZS0xZ3NlcnZpY2VnZW5naW5lc2dh' +
  'ZGRyZXNzuQACZGhvc3RpMTI3LjAuMC4xZHBvcnQZA+hkem9uZWZ6b25lLWFlc2xvdHMGZXN0YXRlZXJl' +
  'YWR5a3JlY2xhaW1hYmxl9GpsZWF2ZXNJbk1z92d2ZXJzaW9u97kAAmJpZGhlbmdpbmUtMmVlbnRyebkA' +
  'CWJpZGhlbmdpbmUtMmdzZXJ2aWNlZ2VuZ2luZXNnYWRkcmVzc7kAAmRob3N0aTEyNy4wLjAuMWRwb3J0' +
  'GQPoZHpvbmVmem9uZS1iZXNsb3RzBmVzdGF0ZWVyZWFkeWtyZWNsYWltYWJsZfRqbGVhdmVzSW5Nc/dn' +
  'dmVyc2lvbvdvc2VydmVyc1JldmlzaW9uAWVib3hJZGVib3gtMW5yZWdpc3RyeU51bWJlcgQ=';
