package classify

import "strings"

// sideEffectFree lists the built-in functions that neither change data nor leave
// state in the session. It includes the functions that the parser substitutes for
// SQL syntax, such as extract and btrim.
var sideEffectFree = newSet(`
	abs acos age array_agg array_append array_cat array_dims array_length array_lower array_ndims array_position
	array_positions array_prepend array_remove array_replace array_to_json array_to_string array_upper ascii asin atan
	atan2 avg bit_and bit_count bit_length bit_or bit_xor bool_and bool_or btrim cardinality cbrt ceil ceiling
	char_length character_length chr clock_timestamp col_description concat concat_ws convert convert_from convert_to
	corr cos cosh cot count covar_pop covar_samp cume_dist current_catalog current_database current_query current_schema
	current_schemas current_setting current_user date date_add date_bin date_part date_subtract date_trunc decode degrees
	dense_rank div encode every exp extract factorial first_value floor format format_type gcd gen_random_uuid
	generate_series generate_subscripts get_bit get_byte greatest has_column_privilege has_database_privilege
	has_schema_privilege has_table_privilege hashtext host initcap inet_client_addr inet_client_port inet_server_addr
	inet_server_port int4 int8 isempty isfinite json_agg json_array_elements json_array_elements_text
	json_array_length json_build_array json_build_object json_each json_each_text json_extract_path
	json_extract_path_text json_object json_object_agg json_object_keys json_populate_record json_populate_recordset
	json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_agg jsonb_array_elements
	jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
	jsonb_exists jsonb_extract_path jsonb_extract_path_text jsonb_object jsonb_object_agg jsonb_object_keys
	jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first
	jsonb_populate_record jsonb_populate_recordset jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_to_record
	jsonb_to_recordset jsonb_typeof justify_days justify_hours justify_interval lag last_value lcm lead least left
	length like_escape ln localtime localtimestamp log log10 lower lower_inc lower_inf lpad ltrim make_date make_interval
	make_time make_timestamp make_timestamptz masklen max md5 min mod mode netmask network normalize now nth_value ntile
	num_nonnulls num_nulls numrange obj_description octet_length overlaps overlay parse_ident percent_rank
	percentile_cont percentile_disc pg_backend_pid pg_collation_for pg_column_size pg_database_size
	pg_encoding_to_char pg_get_constraintdef pg_get_expr pg_get_function_identity_arguments pg_get_functiondef
	pg_get_indexdef pg_get_serial_sequence pg_get_userbyid pg_get_viewdef pg_indexes_size pg_is_in_recovery
	pg_postmaster_start_time pg_relation_size pg_size_pretty pg_sleep pg_sleep_for pg_sleep_until pg_table_is_visible
	pg_table_size pg_total_relation_size pg_type_is_visible pg_typeof phraseto_tsquery pi plainto_tsquery position
	power quote_ident quote_literal quote_nullable radians random range_agg range_merge rank regexp_count
	regexp_instr regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table
	regexp_substr repeat replace reverse right round row_number row_to_json rpad rtrim scale session_user
	setweight sha224 sha256 sha384 sha512 shobj_description sign similar_to_escape sin sinh split_part sqrt
	starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array string_to_table strip
	strpos substr substring sum tan tanh text timeofday timezone to_ascii to_char to_date to_hex to_json to_jsonb
	to_number to_regclass to_regtype to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim
	trim_array trunc ts_headline ts_rank ts_rank_cd tsrange tstzrange unistr unnest upper upper_inc upper_inf user
	var_pop var_samp variance version websearch_to_tsquery width_bucket
`)

func newSet(words string) map[string]bool {
	set := make(map[string]bool)
	for _, w := range strings.Fields(words) {
		set[w] = true
	}
	return set
}
