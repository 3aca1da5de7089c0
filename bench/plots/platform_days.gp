# Worth of each standard day over the scores of a site:
#   bench/platform_days SITE >days.txt
#   gnuplot -e "table='days.txt'; site='SITE'; out='days.svg'" \
#       bench/plots/platform_days.gp
set terminal svg size 900,420
set output out
set title site
set ylabel 'worth'
set xlabel 'score, oldest first'
set yrange [0:1]
set key outside right
set datafile missing '-'
names = system("head -n 1 ".table." | cut -d' ' -f3-")
plot for [i=1:words(names)] table using 0:(column(i + 1)):xtic(1) \
	with linespoints title word(names, i)
